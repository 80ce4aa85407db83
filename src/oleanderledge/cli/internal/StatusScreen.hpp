#pragma once

#include <QJsonObject>

#include <string>

namespace oleanderledge {

/// The answer of /v1/status, together with that of /v1/classes, as one screen of text.
std::string FormatStatus(const QJsonObject& aStatus, const QJsonObject& aClasses, bool aColour);

/// The answer of /v1/classes as a table.
std::string FormatClasses(const QJsonObject& aClasses);

/// The answer of /v1/config/history as a table.
std::string FormatHistory(const QJsonObject& aHistory);

} // namespace oleanderledge
