#!/usr/bin/env bash
exec bash "$(dirname "$0")/../run_case.sh" "$(dirname "$0")"
