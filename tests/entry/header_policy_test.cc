#include "gg_http/header_policy.h"

#include "gg_http/http_types.h"
#include "unit/test_support.h"

namespace greengage {
namespace {

TEST_GROUP(HeaderPolicy){};

TEST(HeaderPolicy, FieldsNamedByAnyConnectionField_AreNotCopied) {
  http::fields from;
  from.insert("Connection", "keep-alive");
  from.insert("X-One", "1");
  from.insert("Connection", "x-one, X-Two");
  from.insert("X-Two", "2");
  from.insert("X-Three", "3");
  http::fields to;
  CopyEndToEndFields(from, &to);
  LONGS_EQUAL(1, std::distance(to.begin(), to.end()));
  CHECK_TRUE(to["X-Three"] == "3");
}

}  // namespace
}  // namespace greengage
