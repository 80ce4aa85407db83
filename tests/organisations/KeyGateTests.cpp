#include "oleanderledge/organisations/organisations.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;

namespace {

constexpr Duration kValidity = std::chrono::milliseconds(4500);

Instant At(int aMs)
{
  return Instant{ std::chrono::hours(1) } + std::chrono::milliseconds(aMs);
}

/// A gate with a current directory that has the organisation "miny" with the key "k1".
class GateFixture
{
public:
  explicit GateFixture(Duration aValidity = kValidity)
    : gate(aValidity)
  {
    this->SetKeys({ "k1" });
    this->gate.SetDirectoryCurrentAt(At(0));
  }

  void SetKeys(const std::vector<std::string>& aKeys)
  {
    OrganisationRow row;
    row.name = "miny";
    for (const std::string& key : aKeys) {
      row.keyDigests.push_back(DigestOfKey(key));
    }
    row.version = ++this->version;
    DirectoryUpdate update;
    update.fromVersion = this->directory.Version();
    update.version = this->version;
    update.configurationNumber = this->version;
    update.usesOrganisations = true;
    update.organisations = { row };
    REQUIRE(this->directory.Apply(update));
  }

  KeyDecision Check(std::string_view aKey, Instant aNow) const
  {
    return this->gate.Check(this->directory, this->route, DigestOfKey(aKey), aNow);
  }

  KeyGate gate;
  Directory directory;
  RouteRow route;
  std::uint64_t version = 0;
};

} // namespace

TEST_CASE("A key admits the callers of its organisation, and no other key does", "[key_gate]")
{
  const GateFixture fixture;
  CHECK(fixture.Check("k1", At(1)).verdict == KeyVerdict::Admitted);
  CHECK(fixture.Check("k1", At(1)).organisation == "miny");
  CHECK(fixture.Check("k2", At(1)).verdict == KeyVerdict::UnknownKey);
  CHECK(fixture.Check("", At(1)).verdict == KeyVerdict::UnknownKey);
}

TEST_CASE("A withdrawn key is unknown from the next directory on", "[key_gate]")
{
  GateFixture fixture;
  fixture.SetKeys({ "k2" });
  CHECK(fixture.Check("k1", At(1)).verdict == KeyVerdict::UnknownKey);
  CHECK(fixture.Check("k2", At(1)).verdict == KeyVerdict::Admitted);
}

TEST_CASE("A public route needs no key, also out of contact", "[key_gate]")
{
  GateFixture fixture;
  fixture.route.isPublic = true;
  CHECK(fixture.Check("other", At(60'000)).verdict == KeyVerdict::Admitted);
  CHECK(fixture.Check("other", At(60'000)).organisation.empty());
}

TEST_CASE("Without organisations no key is checked", "[key_gate]")
{
  const KeyGate gate(kValidity);
  CHECK(gate.Check(Directory{}, RouteRow{}, DigestOfKey("any"), At(1)).verdict ==
        KeyVerdict::Admitted);
}

// Guards against a withdrawn key that goes on working at a proxy that is cut off from control, or
// that was suspended: the clock includes the time of a suspension.
TEST_CASE("Keys end when the directory was current too long ago and return with contact",
          "[key_gate]")
{
  GateFixture fixture;
  CHECK(fixture.Check("k1", At(4500)).verdict == KeyVerdict::Admitted);
  CHECK(fixture.Check("k1", At(4501)).verdict == KeyVerdict::OutOfContact);
  CHECK(fixture.Check("k2", At(4501)).verdict == KeyVerdict::OutOfContact);
  fixture.gate.SetDirectoryCurrentAt(At(4400));
  CHECK(fixture.Check("k1", At(4501)).verdict == KeyVerdict::Admitted);
  fixture.gate.SetDirectoryCurrentAt(At(100));
  CHECK(fixture.Check("k1", At(8900)).verdict == KeyVerdict::Admitted);
}

TEST_CASE("A gate that never heard that its directory is current trusts no key", "[key_gate]")
{
  GateFixture fixture;
  fixture.gate = KeyGate(kValidity);
  CHECK(fixture.Check("k1", At(0)).verdict == KeyVerdict::OutOfContact);
}

TEST_CASE("Without a validity keys are trusted out of contact", "[key_gate]")
{
  GateFixture fixture(Duration{ 0 });
  CHECK(fixture.Check("k1", At(3'600'000)).verdict == KeyVerdict::Admitted);
}
