#!/bin/sh
# Runs the case once; see claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 not run.
# TROUBLE=0: without the disruption. Needs the build of the deploy file and of review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/astershift.jar ] && [ -f target/review-2/Main.class ] || {
  echo "build first: the deploy file's build, then review/build-2.sh" >&2
  exit 2
}
exec java -Xmx1g -cp target/review-2 Main idle "${RECORD:-review/8/record.txt}"
