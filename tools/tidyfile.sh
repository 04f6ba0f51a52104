#!/usr/bin/env bash
# tidyfile.sh FILE...: runs the linter on each file, unless the cache says that the same text had no warnings.
#
# The cache key is a hash of the preprocessed file with its comments, the linter's settings and its version. Only clean
# results are cached.
set -uo pipefail
cd "$(dirname "$0")/.."
root=$PWD
cache=${FOXWING_TIDY_CACHE:-$HOME/.cache/foxwing-tidy}
mkdir -p "$cache"

# Runs the compile command of a file so that it prints the preprocessed text to standard output.
preprocess() {
    python3 - "$1" <<'PYTHON'
import json, os, shlex, sys
wanted = os.path.abspath(sys.argv[1])
for entry in json.load(open("build/compile_commands.json")):
    if os.path.abspath(os.path.join(entry["directory"], entry["file"])) != wanted:
        continue
    words = shlex.split(entry["command"])
    words = words[1:] if os.path.basename(words[0]) == "ccache" else words
    at = words.index("-o")
    del words[at : at + 2]
    words.remove("-c")
    os.chdir(entry["directory"])
    os.execvp(words[0], words + ["-E", "-CC"])
sys.exit("no compile command for " + wanted)
PYTHON
}

# Prints the cache key; empty for a file that isn't part of the build, whose compile command the linter guesses. Such
# files are always checked.
keyOf() {
    text=$(preprocess "$1" 2>/dev/null) || return 0
    { sed "s#$root/##g" <<<"$text"; cat .clang-tidy; clang-tidy --version; } | sha256sum | cut -d' ' -f1
}

wrong=0
for file in "$@"; do
    key=$(keyOf "$file")
    [ -n "$key" ] && [ -e "$cache/$key" ] && continue
    if ! clang-tidy -p build --quiet "$file" 2>/dev/null; then
        wrong=1
    elif [ -n "$key" ]; then
        touch "$cache/$key"
    fi
done
exit $wrong
