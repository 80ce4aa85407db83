#include "oleanderledge/control/RouteValidation.hpp"

#include <set>
#include <string_view>
#include <utility>

namespace oleanderledge {

namespace {

// Every proxy holds all rows. Several times what is planned: 8 services, and 1,000 organisations
// with several keys each.
constexpr std::size_t kMaxRoutes = 8'192;
constexpr std::size_t kMaxServices = 1'024;
constexpr std::size_t kMaxOrganisations = 16'384;
constexpr std::size_t kMaxKeys = 65'536;

} // namespace

Result<void> ValidateRoutes(const RouteConfiguration& aConfiguration)
{
  std::size_t keys = 0;
  for (const OrganisationRow& organisation : aConfiguration.organisations) {
    keys += organisation.keyDigests.size();
  }
  if (aConfiguration.routes.size() > kMaxRoutes || aConfiguration.services.size() > kMaxServices ||
      aConfiguration.organisations.size() > kMaxOrganisations || keys > kMaxKeys) {
    return Fail(ResultCode::InvalidRoutes,
                "there are too many routes, services, organisations or keys");
  }
  std::set<std::string_view> services;
  for (const ServiceRow& service : aConfiguration.services) {
    if (service.name.empty() || !services.insert(service.name).second) {
      return Fail(ResultCode::InvalidRoutes,
                  "service name " + service.name + " is empty or used twice");
    }
  }
  std::set<std::pair<std::string_view, std::string_view>> databasePaths;
  for (const RouteRow& route : aConfiguration.routes) {
    if (!services.contains(route.service)) {
      return Fail(ResultCode::InvalidRoutes,
                  "route " + route.name + " refers to the unknown service " + route.service);
    }
    if (!databasePaths.emplace(route.database, route.pathPrefix).second) {
      return Fail(ResultCode::InvalidRoutes,
                  "another route has the database and path prefix of route " + route.name);
    }
    if (route.statementTimeoutMs == 0) {
      return Fail(ResultCode::InvalidRoutes,
                  "route " + route.name + " has a statement timeout of 0");
    }
  }
  std::set<std::string_view> organisations;
  std::set<std::string_view> keyDigests;
  for (const OrganisationRow& organisation : aConfiguration.organisations) {
    if (organisation.name.empty() || !organisations.insert(organisation.name).second) {
      return Fail(ResultCode::InvalidRoutes,
                  "organisation name " + organisation.name + " is empty or used twice");
    }
    const std::set<std::string_view> own(organisation.keyDigests.begin(),
                                         organisation.keyDigests.end());
    for (const std::string_view digest : own) {
      if (!keyDigests.insert(digest).second) {
        return Fail(ResultCode::InvalidRoutes,
                    "organisation " + organisation.name + " has a key of another organisation");
      }
    }
  }
  return boost::outcome_v2::success();
}

} // namespace oleanderledge
