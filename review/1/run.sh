#!/usr/bin/env bash
# The keys of all tenants are taken away, in series of three.
exec bash "$(dirname "$0")/../play.sh" 1 revoked
