"""All hosts are killed at the same moment and are back five seconds later. The tenant has used a
tenth of its Prepaid; what is left must still be served to it, and must not be refused with 402."""

import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from fleet import play, trouble
from prepaid import play_prepaid

DARK_S = 5.0


def case(folder, record, hosts):
    def disturb():
        if not trouble():
            return
        record.line("platform: all hosts are killed")
        for host in hosts:
            host.signal(signal.SIGKILL)
        for host in hosts:
            host.process.wait()
            host.log.close()
        time.sleep(DARK_S)
        record.line("platform: all hosts start")
        for host in hosts:
            host.start()

    return play_prepaid(folder, record, hosts, disturb)


if __name__ == "__main__":
    play(case)
