#pragma once

#include "oleanderledge/control/internal/BackendAdmin.hpp"

#include <QObject>

#include <map>
#include <string>

namespace oleanderledge {

/// Simulated backend servers. Answers come from the event loop; calls to unknown addresses fail.
class FakeBackends
  : public QObject
  , public BackendAdmin
{
public:
  void Promote(const std::string& /*aDatabase*/,
               const std::string& aAddress,
               std::uint64_t aTerm,
               Callback aCallback) override
  {
    const auto found = this->statusByAddress.find(aAddress);
    if (found != this->statusByAddress.end()) {
      found->second.isPrimary = true;
      found->second.term = aTerm;
    }
    this->Answer(aAddress, std::move(aCallback));
  }

  void QueryStatus(const std::string& /*aDatabase*/,
                   const std::string& aAddress,
                   Callback aCallback) override
  {
    this->Answer(aAddress, std::move(aCallback));
  }

  std::map<std::string, PlatformStatus> statusByAddress;

private:
  void Answer(const std::string& aAddress, Callback aCallback)
  {
    QMetaObject::invokeMethod(
      this,
      [this, aAddress, callback = std::move(aCallback)] {
        const auto found = this->statusByAddress.find(aAddress);
        if (found == this->statusByAddress.end()) {
          callback(Fail(ResultCode::BackendConnectionLost, "no server at " + aAddress));
          return;
        }
        callback(found->second);
      },
      Qt::QueuedConnection);
  }
};

} // namespace oleanderledge
