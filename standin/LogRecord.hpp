#pragma once

#include "StatementResult.hpp"

#include <QJsonObject>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace oleanderledge::stand_in {

/// One committed transaction in the log of a database group.
struct LogRecord
{
  std::uint64_t position = 0;
  std::uint64_t term = 0; ///< Term of the primary that committed it.
  std::vector<std::pair<std::string, Parameters>> statements;
};

QJsonObject ToJson(const LogRecord& aRecord);
LogRecord LogRecordFromJson(const QJsonObject& aJson);

} // namespace oleanderledge::stand_in
