#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/link.hpp"

#include <string>
#include <variant>

namespace oleanderledge {

/// One unit of a caller, to be forwarded to an owner: the messages up to and including one Query or
/// Sync.
struct ForwardUnit
{
  StatementRequest request; ///< Without sequence number, owner epoch and waiting time.
  Instant arrived;          ///< Start of the waiting time.
  /// The unit may be sent again even if an earlier attempt may have run: it is read-only, declared
  /// idempotent, has a request id, executes nothing or only opens a transaction. Never set inside a
  /// transaction.
  bool isRetrySafe = false;
};

/// Sends a message on the link to an owner.
struct SendToOwner
{
  std::string address;
  Message message;
};

/// Opens the link to an owner. Forwarder::OnLinkReady() follows.
struct OpenOwnerLink
{
  std::string address;
};

/// Passes one piece of an answer to the caller's session. Each unit gets exactly one final piece.
struct DeliverPiece
{
  StatementReply reply;
};

using ForwardAction = std::variant<SendToOwner, OpenOwnerLink, DeliverPiece>;

} // namespace oleanderledge
