#pragma once

#include "oleanderledge/transport/HttpReply.hpp"

#include <QHttpServerRequest>

#include <functional>

class QHttpServer;

namespace oleanderledge {

/// Handles a request; may answer through the reply after it has returned.
using DeferredHandler = std::function<void(const QHttpServerRequest&, const HttpReply&)>;

/// Adds a route whose handler may answer asynchronously. Unlike asynchronous answers of QHttpServer
/// itself, this is safe if the client disconnects before the answer; see HttpReply.
void AddDeferredRoute(QHttpServer& aServer,
                      const char* aPath,
                      QHttpServerRequest::Methods aMethods,
                      DeferredHandler aHandler);

} // namespace oleanderledge
