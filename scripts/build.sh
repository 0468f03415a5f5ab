#!/usr/bin/env bash
# Installs the missing Debian packages and builds everything in build/.
set -euo pipefail
cd "$(dirname "$0")/.."

missing=()
while read -r package; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' ||
    missing+=("$package")
done < scripts/packages.txt
if [ "${#missing[@]}" -gt 0 ]; then
  echo "installing: ${missing[*]}"
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
    --no-install-recommends "${missing[@]}" > /dev/null
fi

cmake -S . -B build -G Ninja > build-configure.log 2>&1 || {
  cat build-configure.log
  exit 1
}
rm -f build-configure.log
ninja -C build
