"""A store that comes back from an older copy, under real gateways."""

import asyncio
import time
import unittest

from functional import gateway_case

from quetzalward_bench.soak import _run

# Time from a change until it must be in force, and until a revoked key must
# no longer be served.
APPLY_S = 2.0
REVOKE_S = 5.0
OBSERVED_S = 4.0


class RestoredStoreTest(gateway_case.GatewayCase):
    """Guards against changes that are missed since offsets are reused."""

    async def lose_two_changes(self) -> None:
        """Restore the store to before two changes that all nodes know."""
        await asyncio.sleep(1.0)
        copied_s = time.monotonic()
        self.operator.publish()
        self.operator.publish()
        await asyncio.sleep(1.0)
        self.store.restore(time.monotonic() - copied_s)

    async def test_change_at_a_reused_offset_is_in_force(self) -> None:
        """As many records are written as were lost, so no read gets 410."""
        await self.lose_two_changes()
        self.operator.write_again()
        revoked = self.operator.revoke("north")
        self.targets.write_again()
        changed_s = time.monotonic()
        await asyncio.sleep(APPLY_S + OBSERVED_S)
        for kind in ("draft", "book", "stock"):
            share = self.outcomes.success_share(changed_s + APPLY_S, kind)
            assert share is not None
            self.assertGreaterEqual(share, _run.RECOVERED_SUCCESS_SHARE, kind)
        late = [
            execution.attempt_id
            for execution in self.targets.executions
            if self.outcomes.sent_by_id[execution.attempt_id].key == revoked
            and execution.at_s > changed_s + REVOKE_S
        ]
        self.assertEqual([], late)


if __name__ == "__main__":
    unittest.main()
