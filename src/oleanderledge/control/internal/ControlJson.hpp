#pragma once

#include "oleanderledge/control/Announcement.hpp"
#include "oleanderledge/control/ClassTable.hpp"
#include "oleanderledge/control/ControlLeader.hpp"

#include <QByteArray>
#include <QJsonObject>

#include <vector>

namespace oleanderledge {

/// Reads one announcement object or an array of them. Fails with UsageError.
Result<std::vector<Announcement>> ParseAnnouncements(const QByteArray& aBody);

/// Reads `{"action":"create|set|delete","name":..,"target_ms":..,"version":..,"request_id":..}`.
/// Sets the time of the change to the present time. Fails with UsageError.
Result<ChangeClass> ParseClassChange(const QByteArray& aBody);

/// `{"code":..,"name":..,"message":..}`. An empty message is replaced by the text of the code.
QJsonObject ErrorToJson(ResultCode aCode, const std::string& aMessage);

/// `{"code":..,"name":..,"message":..,"version":..,"classes":[..]}`.
QJsonObject AnswerToJson(const OperatorAnswer& aAnswer);

/// `{"version":..,"classes":[{"name":..,"target_ms":..,"version":..}]}`.
QJsonObject ClassesToJson(const ClassTable& aClasses);

/// `{"version":..,"history":[{"version":..,"action":..,"name":..,"target_ms":..,...}]}`.
QJsonObject HistoryToJson(const ClassTable& aClasses);

/// Instances, databases, and the proxies that do not have the configuration version `aVersion` yet.
/// Configuration and directory versions are log indexes, so a proxy has it if its directory version
/// is not lower.
QJsonObject StatusToJson(const ControlState& aState,
                         const ControlLeader& aLeader,
                         std::uint64_t aVersion,
                         Instant aNow);

/// HTTP status of the answer to an operator request.
int HttpStatusOf(ResultCode aCode);

} // namespace oleanderledge
