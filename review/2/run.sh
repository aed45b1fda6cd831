#!/usr/bin/env bash
exec bash "$(dirname "$0")/../script.sh" planned review/2
