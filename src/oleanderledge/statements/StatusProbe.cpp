#include "oleanderledge/statements/StatusProbe.hpp"

#include "oleanderledge/statements/internal/SocketConnection.hpp"

namespace oleanderledge {

StatusProbe::StatusProbe(std::unique_ptr<StatementProtocol> aProtocol)
  : protocol(std::move(aProtocol))
{
}

StatusProbe::~StatusProbe() = default;

void StatusProbe::QueryReceived(const BackendRow& aBackend, Callback aCallback)
{
  auto* connection = new SocketConnection(*this->protocol, aBackend.name, this);
  const auto done = std::make_shared<Callback>(std::move(aCallback));
  const auto finish = [done](const std::optional<ServerPosition>& aPosition) {
    if (Callback callback = std::exchange(*done, nullptr)) {
      callback(aPosition);
    }
  };
  QObject::connect(connection, &BackendConnection::Opened, this, [this, connection, finish] {
    connection->Run(
      this->protocol->Status(), [this, connection, finish](const StatementResult& aResult) {
        finish(aResult.IsSuccess() ? this->protocol->ParseStatus(aResult.rows) : std::nullopt);
        connection->Close();
      });
  });
  QObject::connect(
    connection, &BackendConnection::Closed, this, [finish] { finish(std::nullopt); });
  connection->Open(aBackend.address, aBackend.service);
}

} // namespace oleanderledge
