#pragma once

#include <QJsonObject>

#include <string>

namespace oleanderledge {

/// Formats the answers of /v1/status and /v1/classes as tables of instances, databases and classes.
std::string FormatStatus(const QJsonObject& aStatus, const QJsonObject& aClasses, bool aColour);

/// Formats the answer of /v1/classes as a table.
std::string FormatClasses(const QJsonObject& aClasses);

/// Formats the answer of /v1/config/history as a table.
std::string FormatHistory(const QJsonObject& aHistory);

} // namespace oleanderledge
