#pragma once

#include "oleanderledge/control/ServiceCoordinator.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace oleanderledge {

/// Asks the platform to promote backend servers.
class PromotionService
{
public:
  using Callback = std::function<void(PromotionOutcome)>;

  virtual ~PromotionService() = default;

  /// Makes a backend server the primary of its service. `aHolder` is the control instance that
  /// decided it, `aFence` grows with each decision. Calls back exactly once.
  virtual void Promote(const std::string& aService,
                       const std::string& aBackend,
                       const std::string& aHolder,
                       std::uint64_t aFence,
                       Callback aCallback) = 0;
};

} // namespace oleanderledge
