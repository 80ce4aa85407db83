/// Public header of the quotas library: tokens that limit the operations of an organisation over
/// all proxies. Decisions only, no I/O. The design is in docs/design/quotas.md.
#pragma once

#include "oleanderledge/quotas/OperationToken.hpp"
#include "oleanderledge/quotas/QuotaTimings.hpp"
#include "oleanderledge/quotas/ShareAllocator.hpp"
#include "oleanderledge/quotas/ShareLedger.hpp"
#include "oleanderledge/quotas/TokenAllocator.hpp"
#include "oleanderledge/quotas/TokenLedger.hpp"
