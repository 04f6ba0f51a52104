#!/usr/bin/env bash
# lint.sh format | tidy: checks that all source files are formatted, or free of linter warnings.
set -euo pipefail
cd "$(dirname "$0")/.."
files() { git ls-files -co --exclude-standard "$@" | grep -v '/generated/'; }
case "${1:-}" in
format)
    files '*.cpp' '*.h' | xargs clang-format --dry-run --Werror
    ;;
tidy)
    # Skips the only C++14 file, because the linter rejects dynamic exception specifications.
    files '*.cpp' | grep -v rpcclient.cpp | xargs -P "$(nproc)" -n 2 tools/tidyfile.sh
    ;;
*)
    echo "use: lint.sh format|tidy" >&2
    exit 2
    ;;
esac
