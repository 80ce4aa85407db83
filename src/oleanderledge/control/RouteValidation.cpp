#include "oleanderledge/control/RouteValidation.hpp"

#include <set>
#include <string_view>
#include <utility>

namespace oleanderledge {

Result<void> ValidateRoutes(const RouteConfiguration& aConfiguration)
{
  std::set<std::string_view> services;
  for (const ServiceRow& service : aConfiguration.services) {
    if (service.name.empty() || !services.insert(service.name).second) {
      return Fail(ResultCode::InvalidRoutes, "service " + service.name + " is not unique");
    }
  }
  std::set<std::pair<std::string_view, std::string_view>> databasePaths;
  for (const RouteRow& route : aConfiguration.routes) {
    if (!services.contains(route.service)) {
      return Fail(ResultCode::InvalidRoutes,
                  "route " + route.name + " names the unknown service " + route.service);
    }
    if (!databasePaths.emplace(route.database, route.pathPrefix).second) {
      return Fail(ResultCode::InvalidRoutes, "two routes serve " + route.name);
    }
    if (route.statementTimeoutMs == 0) {
      return Fail(ResultCode::InvalidRoutes, "route " + route.name + " has no time limit");
    }
  }
  return boost::outcome_v2::success();
}

} // namespace oleanderledge
