#!/usr/bin/env bash
# Checks the formatting and runs clang-tidy. Files that use coroutines are not linted:
# clang-tidy 14 cannot parse the coroutines of libstdc++ 12.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t files < <(git ls-files '*.cc' '*.h' | grep -v generated)
clang-format --dry-run -Werror "${files[@]}"
mapfile -t units < <(grep -L -E 'gg_store/asio.h|gg_http/|awaitable|gg_store/store_(client|session).h|gg_daemon/|modules/gg_entry/|gg_entry/(entry_daemon|message_codec|http_session|entry_traffic|target_|pooled_connection|idle_connection|forwarded_request|fleet_control|heartbeat|store_sync|http_listener|lookup)|platform/(message_adapter|platform_store|entry_platform)|unit/' \
  $(git ls-files 'modules/*.cc' 'platform/*.cc' 'apps/*.cc'))
echo "linting ${#units[@]} units"
printf '%s\n' "${units[@]}" |
  xargs -P "$(nproc)" -n 2 clang-tidy --quiet -p build 2> /dev/null
echo "format and lint clean"
