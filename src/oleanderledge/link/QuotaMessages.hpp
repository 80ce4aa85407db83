#pragma once

#include "oleanderledge/link/OrganisationRows.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace oleanderledge {

// Operations of an organisation with a limited rate are admitted by tokens, one for each. A proxy
// without a token requests some from the control leader; followers relay the requests.

/// Tokens of one organisation that a proxy requests.
struct TokenDemand
{
  std::string organisation;
  std::uint32_t tokens = 0;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->organisation, this->tokens);
  }
};

/// Request of a proxy to the control leader.
struct TokenRequest
{
  std::string instance; ///< Id of the proxy.
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::int64_t sentUs = 0; ///< On the monotonic clock of the proxy; echoed in the reply.
  std::vector<TokenDemand> demands;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->instance, this->incarnation, this->sequence, this->sentUs, this->demands);
  }
};

/// Tokens of one organisation that a proxy receives.
struct TokenGrant
{
  std::string organisation;
  std::uint32_t tokens = 0;
  std::uint32_t retryAfterMs = 0; ///< If fewer were granted than requested: when more may be.

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->organisation, this->tokens, this->retryAfterMs);
  }
};

/// Answer to a TokenRequest.
struct TokenReply
{
  std::string instance; ///< Copied from the request, as the next three.
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::int64_t sentUs = 0;
  bool accepted = false; ///< False: the control group has no leader at present.
  std::vector<TokenGrant> grants;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->instance,
             this->incarnation,
             this->sequence,
             this->sentUs,
             this->accepted,
             this->grants);
  }
};

/// Batch of requests that a follower forwards to the leader.
struct RelayedTokenRequests
{
  std::vector<TokenRequest> requests;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->requests);
  }
};

/// Batch of replies that the leader returns through a follower.
struct RelayedTokenReplies
{
  std::vector<TokenReply> replies;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->replies);
  }
};

/// Operations of one organisation that a proxy was asked for since its last heartbeat, the refused
/// ones included.
struct OperationCount
{
  std::string organisation;
  std::uint32_t operations = 0;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->organisation, this->operations);
  }
};

/// Part of the limit of an organisation that a proxy may use without a request. It is valid for a
/// fixed time after the heartbeat that the reply answers was sent.
struct QuotaShare
{
  std::string organisation;
  OperationRate rate;
  std::uint64_t number = 0; ///< Grows with each change of the share; the proxy confirms it.

  bool operator==(const QuotaShare&) const = default;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->organisation, this->rate, this->number);
  }
};

} // namespace oleanderledge
