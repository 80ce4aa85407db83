#pragma once

class QHttpServer;
class QTcpServer;

namespace oleanderledge {

/// Makes a server accept connections again some time after an error, such as a lack of file
/// descriptors. Without this, QTcpServer never accepts again. Called once for each server.
void RetryAcceptingAfterErrors(QTcpServer& aServer);

/// The same for all ports that the HTTP server listens on. Called after the last of its listen().
void RetryAcceptingAfterErrors(const QHttpServer& aServer);

} // namespace oleanderledge
