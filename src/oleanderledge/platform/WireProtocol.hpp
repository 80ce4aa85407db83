#pragma once

#include "oleanderledge/statements/StatementProtocol.hpp"

namespace oleanderledge::platform {

/// Maximum length of a message in bytes, including its line end; fixed by the protocol.
constexpr std::size_t kMaxLineBytes = std::size_t{ 1024 } * 1024;

/// The platform's line protocol between callers, proxies and backend servers. A message is a
/// keyword and fields, separated by blanks and terminated by CR LF.
class WireProtocol : public StatementProtocol
{
public:
  std::unique_ptr<CallerDecoder> NewCallerDecoder() const override;
  std::unique_ptr<BackendDecoder> NewBackendDecoder() const override;

  std::string Ready(TransactionState aState) const override;
  std::string Completed() const override;
  std::string Failure(StatementError aError, std::string_view aText) const override;

  std::string StartUpFor(std::string_view aService,
                         std::string_view aOrganisation,
                         std::string_view aBackend) const override;
  std::string Forward(std::string_view aId,
                      std::string_view aText,
                      const std::optional<LogPosition>& aAwait) const override;
  std::string Begin() const override;
  std::string BeginReadAt(const LogPosition& aPosition) const override;
  std::string Rollback() const override;
  std::string Discard() const override;
  std::string Set(std::string_view aName, std::string_view aValue) const override;
  std::string Prepare(std::string_view aName, bool aWrites, std::string_view aShape) const override;
  std::string Status() const override;
  std::optional<ServerPosition> ParseStatus(std::string_view aRows) const override;
  std::string Execute(std::string_view aId,
                      std::string_view aName,
                      std::string_view aArguments,
                      const std::optional<LogPosition>& aAwait) const override;
};

} // namespace oleanderledge::platform
