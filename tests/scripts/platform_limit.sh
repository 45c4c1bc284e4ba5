#!/usr/bin/env bash
# server_limit.sh with the headers of the platform.
exec bash "$(dirname "$0")/server_limit.sh" platform
