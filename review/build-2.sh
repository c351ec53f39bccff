#!/bin/sh
# Builds the stand-ins of the scripts of review 2 (review/6 to review/9) into target/review-2. Needs
# packages of the deploy file only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
# shellcheck disable=SC2046
cc -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE $(pkg-config --cflags glib-2.0 json-glib-1.0) \
  review/standin-2/*.c -o target/review-2/standin-2 $(pkg-config --libs glib-2.0 json-glib-1.0)
