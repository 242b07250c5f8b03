"""Rank of a request by its team and its route."""

__all__ = ["combine_ranks"]

# Ranks of routes that are told apart within one rank of teams.
ROUTE_RANKS = 16
# Ranks travel on links as one byte.
RANK_MAX = 255


def combine_ranks(team_rank: int, route_rank: int) -> int:
    """Return the rank of a team's request; the rank of the team goes first.

    Args:
        team_rank: Rank of the team; 0 is the highest.
        route_rank: Rank of the route; 0 is the highest.
    """
    rank = team_rank * ROUTE_RANKS + min(route_rank, ROUTE_RANKS - 1)
    return min(rank, RANK_MAX)
