#!/usr/bin/env bash
# server_notices.sh with the headers of the platform.
exec bash "$(dirname "$0")/server_notices.sh" platform
