#!/usr/bin/env bash
# Installs the packages needed to build foxwing on Debian 12, if any are missing.
set -euo pipefail
packages=(g++ cmake ninja-build ccache pkg-config curl clang-format clang-tidy
    libboost-dev libboost-log-dev libcpprest-dev libcurl4-openssl-dev libgtest-dev libjsoncpp-dev
    libjsonrpccpp-dev libmicrohttpd-dev libpopt-dev libssl-dev libtomlplusplus-dev libxxhash-dev python3 rapidjson-dev)
missing=()
for package in "${packages[@]}"; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
    sudo=""
    [ "$(id -u)" = 0 ] || sudo=sudo
    $sudo apt-get update -qq
    DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq --no-install-recommends "${missing[@]}"
fi
