#pragma once

#include "SlotSettings.hpp"
#include "SlotStore.hpp"
#include "WriterToken.hpp"

namespace oleanderledge::stand_in {

/// State that the sessions of one slot share. Outlives the sessions.
struct SlotContext
{
  SlotSettings settings;
  SlotStore store{ nullptr };
  WriterToken writerToken{ nullptr };
  bool frozen = false;    ///< No session makes progress.
  bool departing = false; ///< Announced as leaving.
};

} // namespace oleanderledge::stand_in
