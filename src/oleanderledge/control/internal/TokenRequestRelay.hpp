#pragma once

#include "oleanderledge/link/Messages.hpp"

#include <QObject>
#include <QTimer>

#include <functional>
#include <vector>

namespace oleanderledge {

/// Collects requests for tokens at a follower and forwards them to the leader in batches.
class TokenRequestRelay : public QObject
{
  Q_OBJECT

public:
  /// `aSend` sends to the present leader, or drops the message if there is none.
  TokenRequestRelay(std::function<void(const Message&)> aSend, QObject* aParent);

  /// Queues a request for the next batch.
  void Add(const TokenRequest& aRequest);

private:
  void Flush();

  std::function<void(const Message&)> send;
  std::vector<TokenRequest> batch;
  QTimer flushTimer;
};

} // namespace oleanderledge
