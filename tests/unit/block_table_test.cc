#include "gg_steering/block_table.h"

#include <map>

#include "gg_core/random.h"
#include "unit/test_support.h"

namespace greengage {
namespace {

TEST_GROUP(BlockTable) {
  BlockTable table;
  std::map<uint32_t, uint8_t> model;
  Random random{20261204};

  void Fill(int count) {
    for (int i = 0; i < count; ++i) {
      const BlockEntry entry{static_cast<uint32_t>(random.NextBelow(1U << 24U)),
                             static_cast<uint8_t>(random.NextBelow(160))};
      table.Set(entry);
      model[entry.block] = entry.site;
    }
  }
};

TEST(BlockTable, LookUpAgreesWithAMap) {
  Fill(20000);
  LONGS_EQUAL(model.size(), table.size());
  for (const auto& [block, site] : model) {
    LONGS_EQUAL(site, table.SiteOf((block << 8U) | 77U));
  }
  LONGS_EQUAL(BlockTable::kNoSite, BlockTable().SiteOf(1));
}

TEST(BlockTable, RemovedBlockIsGone) {
  table.Set({5, 1});
  table.Set({5, BlockTable::kNoSite});
  LONGS_EQUAL(0, table.size());
  LONGS_EQUAL(BlockTable::kNoSite, table.SiteOf(5U << 8U));
}

TEST(BlockTable, RangesRebuildTheTableAndItsDigests) {
  Fill(20000);
  BlockTable copy;
  for (int range = 0; range < 256; ++range) {
    CHECK_TRUE(copy.DecodeRange(range, table.EncodeRange(range)).ok());
  }
  LONGS_EQUAL(table.size(), copy.size());
  CHECK_TRUE(copy.Digests() == table.Digests());
}

TEST(BlockTable, ChangedBlockChangesOneDigest) {
  Fill(1000);
  const auto before = table.Digests();
  table.Set({0x0a0102, 7});
  const auto after = table.Digests();
  for (int range = 0; range < 256; ++range) {
    CHECK_TRUE((before[range] != after[range]) == (range == 0x0a));
  }
}

TEST(BlockTable, MalformedRangeIsRefusedAndLeavesTableUnchanged) {
  Fill(5000);
  const auto before = table.Digests();
  const std::string whole = table.EncodeRange(10);
  for (int round = 0; round < 200; ++round) {
    // A truncated encoding never covers the whole range.
    const std::string bytes = whole.substr(0, random.NextBelow(whole.size()));
    CHECK_FALSE(table.DecodeRange(10, bytes).ok());
  }
  CHECK_FALSE(table.DecodeRange(10, whole + whole).ok());
  CHECK_TRUE(table.Digests() == before);
}

}  // namespace
}  // namespace greengage
