#!/bin/bash
exec "$(dirname "$0")/../stand-ins/run-case.sh" long_prompts "$(dirname "$0")"
