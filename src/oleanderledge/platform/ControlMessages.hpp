#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/RouteRows.hpp"

#include <string>
#include <string_view>

namespace oleanderledge::platform {

/// Decodes the body of the registration of the backend server `aBackend`. Fails with
/// ProtocolViolation if the name is empty or a field is missing or invalid.
Result<BackendRow> DecodeRegistration(std::string_view aBackend, std::string_view aBody);

/// Decodes an operator's configuration; ValidateRoutes() checks its consistency. Fails with
/// ProtocolViolation if a field is missing or invalid.
Result<RouteConfiguration> DecodeConfiguration(std::string_view aBody);

/// Encodes the answer to an accepted registration. The backend server sends its next registrations
/// to `aNextAddress` first; empty: no preference.
std::string EncodeRegistrationAnswer(std::string_view aNextAddress);

/// Encodes the body of a promotion call.
std::string EncodePromotion(std::string_view aService, std::string_view aBackend);

} // namespace oleanderledge::platform
