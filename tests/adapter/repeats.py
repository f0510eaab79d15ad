"""Repeats of one request, which differ in one respect from each other.

All have the same method, path, query and body; each is sent to the next node
with an id and a deadline of its own.
"""

import asyncio
import random

from adapter import emulator

from balsamshore_node.forwarding import messages

CALLERS = 8  # addresses that repeats come from
TARGET = '/p/crash?page=1'
BODY = b'0123456789'
# What may differ from one repeat to the next.
DIFFERENCES = (
    'address',  # of the connection
    'connection',  # kept open, or a new one for each repeat
    'headers',  # their order, and others than those named here
    'framing',  # of the body: its length, or chunks
    'host',  # spelling of the Host header
    'pauses',
    'service',  # of the route
    'split',  # of the route among services
    'version',  # of the configuration
)


class Repeater:
    """Sends one request again and again.

    Attributes:
        statuses: Status of each response; 0 for a connection that broke.
    """

    def __init__(self, platform, nodes, differences):
        """Initializes the repeater.

        Args:
            platform: The emulator.
            nodes: Indexes of the nodes that are asked in turn.
            differences: Some of DIFFERENCES.
        """
        self._platform = platform
        self._nodes = nodes
        self._differences = frozenset(differences)
        self._rng = random.Random(1)
        self._kept = {}
        self._version = 1
        self.statuses = []

    async def run(self, seconds, gap_s=0.25):
        """Repeats the request for some seconds."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            number = len(self.statuses)
            if number % 4 == 3:
                await self._change_configuration()
            self.statuses.append(await self._send(number))
            pause_s = gap_s
            if 'pauses' in self._differences:
                pause_s *= self._rng.choice((0.5, 1.0, 3.0))
            await asyncio.sleep(pause_s)
        for _, writer in self._kept.values():
            writer.close()

    async def _change_configuration(self):
        self._version += 1
        fields = {}
        if 'service' in self._differences:
            fields = {'plain': 'abc'[self._version % 3]}
        elif 'split' in self._differences:
            fields = {'split': ('ab', 'bc', 'abc')[self._version % 3]}
        elif 'version' not in self._differences:
            return
        await self._platform.put(
            'op/config', emulator.make_table(self._version, **fields)
        )

    async def _send(self, number):
        index = self._nodes[number % len(self._nodes)]
        request_id = f'repeat{number}'
        self._platform.record_sent(request_id, TARGET, 3.0, index)
        try:
            reader, writer = await self._connect(number, index)
            writer.write(self._encode(number, request_id))
            reply = messages.ReplyReader()
            while not reply.complete:
                data = await asyncio.wait_for(reader.read(65536), 4.0)
                if not data:
                    break
                reply.feed(data)
        except (OSError, TimeoutError, messages.MessageError):
            self._kept.pop(index, None)
            return 0
        if 'connection' not in self._differences or reply.closing:
            self._kept.pop(index, None)
            writer.close()
        return reply.status if reply.complete else 0

    async def _connect(self, number, index):
        if index in self._kept and number % 3:
            return self._kept[index]
        network = self._platform.network
        caller = 1
        if 'address' in self._differences:
            caller += number % CALLERS
        self._kept[index] = await asyncio.open_connection(
            f'{network}.2.{index}',
            8226,
            local_addr=(f'{network}.3.{caller}', 0),
        )
        return self._kept[index]

    def _encode(self, number, request_id):
        host = emulator.HOST
        if 'host' in self._differences:
            spellings = (host, host.upper(), f'{host}:8226')
            host = spellings[number % len(spellings)]
        fields = [
            ('Host', host),
            ('Request-Id', request_id),
            ('Deadline-Ms', str(3000 - number)),
        ]
        if 'headers' in self._differences:
            fields += [
                ('User-Agent', f'client/{number}'),
                ('Traceparent', f'00-{number:032x}-{number:016x}-01'),
                ('X-Forwarded-For', f'10.0.0.{number % 200}'),
            ]
            self._rng.shuffle(fields)
        body = BODY
        if 'framing' in self._differences and number % 2:
            fields.append(('Transfer-Encoding', 'chunked'))
            split = 1 + number % (len(BODY) - 1)
            body = b''.join(
                b'%x\r\n%b\r\n' % (len(chunk), chunk)
                for chunk in (BODY[:split], BODY[split:], b'')
            )
        else:
            fields.append(('Content-Length', str(len(BODY))))
        lines = ''.join(f'{name}: {value}\r\n' for name, value in fields)
        return f'POST {TARGET} HTTP/1.1\r\n{lines}\r\n'.encode() + body
