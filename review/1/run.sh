#!/usr/bin/env bash
exec bash "$(dirname "$0")/../script.sh" setup review/1
