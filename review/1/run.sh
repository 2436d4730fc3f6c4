#!/usr/bin/env bash
# The keys of all tenants are taken away, in series of three.
# With TROUBLE=0 it does the same without the disruption.
TROUBLE=${TROUBLE:-1} exec bash "$(dirname "$0")/../play.sh" 1 revoked
