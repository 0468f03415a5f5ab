#include "gg_core/gg_core.h"
#include "gg_document/gg_document.h"
#include "unit/sample_document.h"
#include "unit/test_support.h"

namespace greengage {
namespace {

std::string ReplaceFirst(std::string text, const std::string& from,
                         const std::string& to) {
  const size_t at = text.find(from);
  CHECK_TRUE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

/** Expects that `text` is refused with a message that contains `problem` and
    `remedy`. */
void ExpectRefused(const std::string& text, const std::string& problem,
                   const std::string& remedy) {
  const auto parsed = ParseDocument(text);
  CHECK_FALSE(parsed.ok());
  const std::string message = MessageOf(parsed.status());
  CHECK_TEXT(Contains(message, problem), message.c_str());
  CHECK_TEXT(Contains(message, remedy), message.c_str());
}

TEST_GROUP(Document){};

TEST(Document, ParseSampleGivesTypedForm) {
  const auto parsed = ParseDocument(SampleDocument());
  CHECK_TRUE_TEXT(parsed.ok(), MessageOf(parsed.status()).c_str());
  const Document& document = **parsed;
  STRCMP_EQUAL("sample", document.deployment.c_str());
  LONGS_EQUAL(2, document.regions.size());
  LONGS_EQUAL(3, document.services[0].targets.size());
  // Without a row in the split, traffic stays in its home region.
  DOUBLES_EQUAL(1.0, document.services[0].split.at("south").at("south"), 0);
}

TEST(Document, ParseUnknownKeyNamesLineColumnAndRemedy) {
  ExpectRefused(ReplaceFirst(SampleDocument(), "slices: 24", "slicess: 24"),
                "line 5, column 3, at platform.slicess: unknown key",
                "use one of owner, deployment, slices");
}

TEST(Document, ParseNanWeightRefused) {
  ExpectRefused(ReplaceFirst(SampleDocument(), "weight: 5", "weight: .nan"),
                "at shop.routes[1].weight: not a number in range",
                "write a number from");
}

TEST(Document, ParseNegativeCapacityRefused) {
  ExpectRefused(SampleDocument("{north: 1.0}", "-3"),
                "at platform.regions.north.capacity", "write a number from 1");
}

TEST(Document, ParseZeroSplitRefused) {
  ExpectRefused(SampleDocument("{north: 0.0, south: 0.0}"),
                "at shop.split.north: fractions add up to 0",
                "make them add up to 1");
}

TEST(Document, ParseSplitAcrossMissingLinkRefused) {
  std::string text = SampleDocument("{north: 0.5, south: 0.5}");
  text = ReplaceFirst(
      text, "    - {from: south, to: north, bytes_per_second: 1000000}\n", "");
  ExpectRefused(text, "no link between 'north' and 'south'",
                "add both under platform.links");
}

TEST(Document, ParseTargetOfOtherTeamRefused) {
  const std::string other = R"(
rival:
  owner: rival-team
  hosts: [shop.example]
  shift: {cap: 0.2, window: 20s}
  split: {south: {north: 1.0}}
  routes: [{method: GET, path: /, kind: x, weight: 1, idempotent: true}]
  targets: [{name: n1, address: "10.9.0.1:80", zone: north-1, slots: 1, connections: 1}]
)";
  ExpectRefused(SampleDocument() + other,
                "'10.9.0.1:80' already belongs to section 'shop'",
                "list only names that this section's team owns");
  ExpectRefused(SampleDocument() + other,
                "'shop.example' already belongs to section 'shop'", "");
}

TEST(Document, ParseInvalidYamlReportsLocation) {
  ExpectRefused(ReplaceFirst(SampleDocument(), "hosts: [shop.example]",
                             "hosts: [shop.example"),
                "line ", "correct the YAML");
}

TEST(Document, ParseRandomlyModifiedTextDoesNotCrash) {
  Random random(20261204);
  const std::string sample = SampleDocument();
  for (int round = 0; round < 2000; ++round) {
    std::string text = sample;
    const uint64_t edits = 1 + random.NextBelow(8);
    for (uint64_t i = 0; i < edits; ++i) {
      text[random.NextBelow(text.size())] = static_cast<char>(random.Next());
    }
    text.resize(random.NextBelow(text.size() + 1));
    const auto parsed = ParseDocument(text);
    if (!parsed.ok()) CHECK_FALSE(MessageOf(parsed.status()).empty());
  }
}

TEST(Document, HomeRegionUsesLongestMatchingPrefix) {
  const auto parsed = ParseDocument(SampleDocument());
  const auto home = [&](uint32_t address) {
    return std::string((*parsed)->HomeRegion(address, "fallback"));
  };
  STRCMP_EQUAL("north", home(0x0a010101).c_str());
  STRCMP_EQUAL("south", home(0x0a010203).c_str());
  STRCMP_EQUAL("fallback", home(0x0b000001).c_str());
}

TEST(Document, FindRouteUsesLongestPrefix) {
  const auto parsed = ParseDocument(SampleDocument());
  const ServiceSpec& shop = (*parsed)->services[0];
  STRCMP_EQUAL("long", FindRoute(shop, "GET", "/long/1")->kind.c_str());
  STRCMP_EQUAL("browse", FindRoute(shop, "GET", "/lo")->kind.c_str());
  POINTERS_EQUAL(nullptr, FindRoute(shop, "POST", "/"));
}

TEST(Document, SplitThenJoinPreservesBytes) {
  const std::string text = SampleDocument();
  const auto sections = SplitSections(text);
  LONGS_EQUAL(2, sections.size());
  STRCMP_EQUAL("shop", sections[1].name.c_str());
  CHECK_TRUE(Contains(sections[1].text, "# The shop."));
  STRCMP_EQUAL(text.c_str(), JoinSections(sections).c_str());
}

TEST(Document, ReplaceSectionKeepsOtherSections) {
  const std::string text = SampleDocument();
  const auto replaced =
      ReplaceSection(text, "shop", "shop:\n  owner: somebody\n");
  CHECK_TRUE(replaced.ok());
  CHECK_TRUE(Contains(*replaced, "deployment: sample"));
  CHECK_FALSE(Contains(*replaced, "shop-team"));
  CHECK_FALSE(ReplaceSection(text, "shop", "other:\n  x: 1\n").ok());
  CHECK_FALSE(ReplaceSection(text, "shop", "shop:\n a: 1\nb:\n c: 2\n").ok());
}

TEST(Document, LineDiffMarksAddedAndRemovedLines) {
  STRCMP_EQUAL(" a\n-b\n+c\n d\n", LineDiff("a\nb\nd\n", "a\nc\nd\n").c_str());
}

}  // namespace
}  // namespace greengage
