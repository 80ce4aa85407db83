#pragma once

class QTcpServer;

namespace oleanderledge {

/// Makes a server accept connections again some time after an error, such as a lack of file
/// descriptors. Without this, QTcpServer never accepts again. Called once for each server.
void RetryAcceptingAfterErrors(QTcpServer& aServer);

} // namespace oleanderledge
