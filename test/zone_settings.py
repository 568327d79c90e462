"""Settings of the control hosts and nodes of `test.zones`."""


def control_settings(running, host: str) -> dict:
    """Returns the settings of a control host.

    Its peer addresses are those of its links to the other control hosts.
    """
    return {
        'host': host,
        'data_folder': str(running.folder / host),
        'hosts': [
            {
                **entry,
                'peer_address': running.links.addresses.get(
                    f'{host}-{peer}',
                    entry['peer_address'],
                ),
            }
            for peer, entry in running.controls.items()
        ],
    }


def node_settings(running, host: str) -> dict:
    """Returns the settings of a node.

    Its control host addresses are those of its links to them.
    """
    node = running.nodes[host]
    return {
        **node,
        'neighbours': [
            running.nodes[peer]['call_address']
            for peer in running.nodes_of(node['availability_zone'])
            if peer != host
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
