#!/bin/sh
# Builds the stand-ins of the cases into review/bin/. Needs the packages of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
flags=$(pkg-config --cflags --libs glib-2.0 json-glib-1.0 libmicrohttpd)
for source in review/[0-9]*/case.c; do
  number=$(basename "$(dirname "$source")")
  # shellcheck disable=SC2086
  cc -std=gnu11 -O1 -g -Wall -Wextra -D_GNU_SOURCE -Ireview/standin -Isoak -Itests -Isrc \
    "$source" review/standin/stage.c review/standin/workers.c soak/store.c tests/fake-http.c \
    tests/fake-forward.c -o "review/bin/case-$number" $flags -lpthread
done
