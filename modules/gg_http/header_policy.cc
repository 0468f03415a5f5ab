#include "gg_http/header_policy.h"

#include <algorithm>
#include <array>

#include "gg_store/message_parsing.h"

namespace greengage {
namespace {

constexpr std::array<http::field, 9> kHopByHopFields = {
    http::field::connection,
    http::field::keep_alive,
    http::field::proxy_connection,
    http::field::proxy_authenticate,
    http::field::proxy_authorization,
    http::field::te,
    http::field::trailer,
    http::field::transfer_encoding,
    http::field::upgrade};

bool IsHopByHop(http::field field) {
  return std::find(kHopByHopFields.begin(), kHopByHopFields.end(), field) !=
         kHopByHopFields.end();
}

}  // namespace

bool IsNamedByConnection(const http::fields& fields, beast::string_view name) {
  const auto [first, last] = fields.equal_range(http::field::connection);
  return std::any_of(first, last, [&](const auto& connection) {
    const http::token_list named(connection.value());
    return std::any_of(named.begin(), named.end(), [&](const auto& token) {
      return beast::iequals(token, name);
    });
  });
}

void CopyEndToEndFields(const http::fields& from, http::fields* to) {
  for (const auto& field : from) {
    const bool is_framing = field.name() == http::field::content_length ||
                            field.name() == http::field::expect;
    if (is_framing || IsHopByHop(field.name()) ||
        IsNamedByConnection(from, field.name_string())) {
      continue;
    }
    to->insert(field.name(), field.name_string(), field.value());
  }
}

bool IsBodyless(unsigned status) {
  return IsInterim(status) ||
         status == static_cast<unsigned>(http::status::no_content) ||
         status == static_cast<unsigned>(http::status::not_modified);
}

}  // namespace greengage
