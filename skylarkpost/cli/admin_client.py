"""Client of the instances' admin API."""

import asyncio
from typing import Any, NamedTuple

import aiohttp
import msgspec

__all__ = ["InstanceResponse", "query_instances"]

TIMEOUT_S = 3.0
STATUS_OK = 200
STATUS_NOT_FOUND = 404


class InstanceResponse(NamedTuple):
    """Response of one instance.

    Attributes
    ----------
    url : str
        URL of the instance.
    content : dict or None
        Decoded response body; None if there is none.
    problem : str or None
        Why there is no response; None if it responded, including with status 404.
    """

    url: str
    content: dict[str, Any] | None
    problem: str | None


async def query_instances(urls, path):
    """Send a GET request to all instances concurrently.

    Parameters
    ----------
    urls : list of str
        ``http://IP:PORT`` of each.
    path : str
        Path to request.

    Returns
    -------
    list of InstanceResponse
        In the order of `urls`.
    """
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as http:
        return await asyncio.gather(*(_query(http, url, path) for url in urls))


async def _query(http, url, path):
    try:
        async with http.get(url + path) as response:
            if response.status == STATUS_NOT_FOUND:
                return InstanceResponse(url, None, None)
            if response.status != STATUS_OK:
                return InstanceResponse(url, None, f"status {response.status}")
            content = msgspec.json.decode(await response.read(), type=dict)
    except TimeoutError:
        return InstanceResponse(url, None, f"no answer within {TIMEOUT_S:g} s")
    except (aiohttp.ClientError, OSError) as error:
        return InstanceResponse(url, None, str(error))
    except msgspec.DecodeError as error:
        return InstanceResponse(url, None, f"answer not understood: {error}")
    return InstanceResponse(url, content, None)
