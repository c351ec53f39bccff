#!/bin/sh
# Builds the stand-ins and the programs of the cases 11 to 15 into target/review-3. Needs the packages of
# the deploy file only.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
packages="glib-2.0 json-glib-1.0 libmicrohttpd"
# shellcheck disable=SC2046
build () {
  name=$1
  shift
  cc -std=gnu11 -O2 -Wall -Wextra -Werror -D_GNU_SOURCE -Itests -Ireview/standin-3 -o "$out/$name" "$@" \
    $(pkg-config --cflags --libs $packages) -lpthread
}
mkdir -p "$out"
build store review/standin-3/store.c tests/fake-http.c
build worker review/standin-3/worker.c review/standin-3/call.c tests/fake-http.c
for case in review/1[1-5]/case.c; do
  [ -f "$case" ] || continue
  folder=${case%/case.c}
  build "case-${folder#review/}" "$case" review/standin-3/deployment.c review/standin-3/call.c
done
