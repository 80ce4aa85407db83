#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/link.hpp"

#include <string>
#include <variant>

namespace oleanderledge {

/// One unit of a caller on its way to an owner.
struct ForwardUnit
{
  StatementRequest request; ///< Without sequence, epoch and waiting time.
  Instant arrived;
  /// The unit may be sent again although an earlier attempt may have run: it is a read, declared
  /// idempotent, carries a request id, or only opens a transaction.
  bool isRetrySafe = false;
};

/// Sends a message on the link to an owner.
struct SendToOwner
{
  std::string address;
  Message message;
};

/// Asks for a link; LinkReady() follows.
struct OpenOwnerLink
{
  std::string address;
};

/// Hands a piece of an answer to the caller's session. Exactly one final piece for each unit.
struct DeliverPiece
{
  StatementReply reply;
};

using ForwardAction = std::variant<SendToOwner, OpenOwnerLink, DeliverPiece>;

} // namespace oleanderledge
