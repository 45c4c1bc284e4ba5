#!/usr/bin/env bash
# Installs those of the Debian packages given as arguments that are not
# installed yet.
set -eu
missing=()
for package in "$@"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq "${missing[@]}"
