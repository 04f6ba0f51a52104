#!/usr/bin/env bash
# lint.sh format | tidy: our own files must be formatted, and free of the linter's warnings.
set -euo pipefail
cd "$(dirname "$0")/.."
files() { git ls-files -co --exclude-standard "$@" | grep -v '/generated/'; }
case "${1:-}" in
format)
    files '*.cpp' '*.h' | xargs clang-format --dry-run --Werror
    ;;
tidy)
    # The linter can't read dynamic exception specifications, so the one C++14 file is left out.
    files '*.cpp' | grep -v rpcclient.cpp | xargs -P "$(nproc)" -n 2 tools/tidyfile.sh
    ;;
*)
    echo "use: lint.sh format|tidy" >&2
    exit 2
    ;;
esac
