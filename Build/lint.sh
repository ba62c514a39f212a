#!/usr/bin/env bash
# Checks format and lint of all sources; warnings are errors.
# Usage: lint.sh [FILE...]   (default: every source file git knows)
set -euo pipefail
cd "$(dirname "$0")/.."

if [ $# -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files --cached --others --exclude-standard \
    '*.cpp' '*.h' | grep -v '\.capnp\.')
fi
clang-format --dry-run -Werror "${files[@]}"
printf '%s\n' "${files[@]}" | grep '\.cpp$' |
  xargs -P 10 -n 4 clang-tidy -p Build/out/release --quiet 2>/dev/null
echo "format and lint: ${#files[@]} files clean"
