#pragma once

#include "oleanderledge/transport/HttpClients.hpp"
#include "oleanderledge/transport/HttpRequestReader.hpp"

#include <QObject>
#include <QTcpSocket>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace oleanderledge {

/// One connection of a client to an HTTP server. Handles one request at a time: the next one is
/// read once the answer to the previous one has been sent and read. Deletes itself after it has
/// closed.
class HttpConnection : public QObject
{
  Q_OBJECT

public:
  using RequestHandler = std::function<void(HttpConnection&, const HttpRequest&)>;

  /// Takes ownership of an accepted socket. `aId` is the client in the budget.
  HttpConnection(QTcpSocket* aSocket,
                 ResourceBudget::ClientId aId,
                 std::shared_ptr<HttpClients> aClients,
                 RequestHandler aHandler,
                 QObject* aParent);
  ~HttpConnection() override;

  /// Sends the answer to the present request, which starts with the status and further headers.
  /// Has no effect if the request was answered already or the connection has closed.
  void Answer(int aStatus, const QByteArray& aHeaders, const QByteArray& aBody);

  /// Closes the connection at once, counts and logs it.
  void Abort(ClosingReason aReason);

  /// Closes the connection if a limit of time has passed.
  void CheckTime(Instant aNow);

  /// Since when the connection has been waiting for its first byte or for the rest of a request;
  /// nothing while a request is handled or an answer is being read.
  std::optional<Instant> WaitingSince() const;

Q_SIGNALS:
  /// Emitted once.
  void Closed();

private:
  void ReadAvailable();
  void RejectRequest(HttpReadError aError);
  /// Ends the connection once the answer has been sent.
  void CloseAfterAnswer();
  void HandleWritten();
  void Finish();
  /// Reports to the budget what is held, and closes clients if that is too much.
  void UpdateHeld();

  QTcpSocket* socket;
  ResourceBudget::ClientId id;
  std::shared_ptr<HttpClients> clients;
  RequestHandler handler;
  HttpRequestReader reader;
  std::string address;      ///< Of the client.
  std::size_t heldBody = 0; ///< Size of the body of the request that is being handled.
  Instant since;            ///< Start of the present wait for a request or for its rest.
  Instant readAt;           ///< When the client last read a part of an answer.
  bool isHandling = false;  ///< The present request is not answered.
  bool keepsConnection = true;
  bool isClosing = false; ///< The connection ends once the answer has been sent.
  bool isClosed = false;
  bool isReading = false; ///< In ReadAvailable().
};

} // namespace oleanderledge
