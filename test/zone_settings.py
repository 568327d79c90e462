"""Settings of the control hosts and nodes of `test.zones`."""


def control_table(running, host: str) -> dict:
    """Returns the settings of a control host."""
    return {
        'host': host,
        'data_folder': str(running.folder / host),
        'hosts': [
            {
                **entry,
                'peer_address': running.links.addresses.get(
                    f'{host}-{other}',
                    entry['peer_address'],
                ),
            }
            for other, entry in running.controls.items()
        ],
    }


def node_table(running, host: str) -> dict:
    """Returns the settings of a node."""
    own = running.nodes[host]
    return {
        **own,
        'neighbours': [
            running.nodes[other]['call_address']
            for other in running.nodes_of(own['availability_zone'])
            if other != host
        ],
        'controls': [
            {
                'host': control,
                'availability_zone': entry['availability_zone'],
                'node_address': running.links.addresses[f'{host}-{control}'],
            }
            for control, entry in running.controls.items()
        ],
        **running.settings,
    }
