#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/RouteRows.hpp"

#include <string>
#include <string_view>

namespace oleanderledge::platform {

/// Decodes the body of a backend server's registration. Fails with ProtocolViolation if a field is
/// missing or of another type.
Result<BackendRow> DecodeRegistration(std::string_view aBackend, std::string_view aBody);

/// Decodes an operator's configuration; whether it makes sense is not checked. Fails with
/// ProtocolViolation if it cannot be read in full.
Result<RouteConfiguration> DecodeConfiguration(std::string_view aBody);

/// Body of an acknowledged registration. The address is where the next registrations go first;
/// empty: no preference.
std::string EncodeRegistrationAnswer(std::string_view aNextAddress);

/// Body of a promotion call.
std::string EncodePromotion(std::string_view aService, std::string_view aBackend);

} // namespace oleanderledge::platform
