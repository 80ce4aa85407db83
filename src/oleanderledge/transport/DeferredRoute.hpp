#pragma once

#include "oleanderledge/transport/HttpReply.hpp"

#include <QHttpServerRequest>

#include <functional>

class QHttpServer;

namespace oleanderledge {

/// Handles a request and answers through the reply at any later time.
using DeferredHandler = std::function<void(const QHttpServerRequest&, const HttpReply&)>;

/// Adds a route whose answer is given later. Unlike the answers of QHttpServer itself, it survives
/// a client that disconnects before the answer; see HttpReply.
void AddDeferredRoute(QHttpServer& aServer,
                      const char* aPath,
                      QHttpServerRequest::Methods aMethods,
                      DeferredHandler aHandler);

} // namespace oleanderledge
