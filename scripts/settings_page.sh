#!/usr/bin/env bash
# Prints docs/SETTINGS.md from the settings tables of the programs.
cd "$(dirname "$0")/.." || exit 1
cat <<'EOF'
# Settings

Every program reads flags and environment variables; a flag goes before the
environment, the environment before the default. A wrong value stops the start
with the setting's name, the value and what is allowed. `scripts/settings_page.sh`
prints this page from the tables in the code; `tests/scripts/settings_page.sh`
compares the two.
EOF
for program in cy-control cy-zone cy-entry cy-hub cy-gate cy-backend cy-load; do
  printf '\n## %s\n\n' "$program"
  build/bin/$program --settings-table
done
cat <<'EOF'

## cyctl

`cyctl --help` and `cyctl COMMAND --help` list the options; `CY_CONTROL` and
`CY_TOKEN_FILE` stand for `--control` and `--token-file`.
EOF
